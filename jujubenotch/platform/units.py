"""Units of time; importing this module imports nothing else."""

MS_PER_S = 1000
