"""The agent of one rank, for engines that switch expert maps on orders."""
