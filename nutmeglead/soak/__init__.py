"""Run the entry program in separate processes and inject faults from outside."""
