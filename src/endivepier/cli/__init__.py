"""The `endivepier` command line, with one module for each subcommand."""
