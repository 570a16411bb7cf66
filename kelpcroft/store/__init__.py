"""What lasts on a disk where there is one: here only the small file that an upgrade hands over."""
