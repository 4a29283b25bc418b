"""Run whole days of a deployment in one process on virtual time, and judge the promises."""
