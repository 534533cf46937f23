"""The platform's units of time; loads no library."""

MS_PER_S = 1000
