"""Parse command lines, connect the parts and run them: one module per program."""
