"""The programs' journal: turns, receipts, recovery, budgets."""
