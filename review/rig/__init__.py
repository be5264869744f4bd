"""Stand-ins and checks that the cases 6 to 10 share."""
