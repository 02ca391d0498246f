"""The command-line tool `mulberryhub` for operators."""
