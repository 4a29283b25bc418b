"""Check, file, merge and apply change tickets."""
