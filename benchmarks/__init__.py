"""Demo, measurements and the programs that they start on loopback."""
