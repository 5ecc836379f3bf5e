"""Names, formats and calls of the users' platform; decides nothing."""
