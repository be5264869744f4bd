"""Program histories: their journal, group commits, budgets and receipts."""
