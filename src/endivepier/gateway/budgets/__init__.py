"""Token budgets of programs, over all hosts together."""
