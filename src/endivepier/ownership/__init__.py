"""Who owns which programs: shards, epochs, takeover."""
