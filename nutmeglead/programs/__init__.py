"""Parse command lines, create the parts of each program and run them: one module per program."""
