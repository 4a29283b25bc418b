"""Check, file, merge and fold change tickets."""
