"""The choice of a target, and whether one may be burdened now."""
