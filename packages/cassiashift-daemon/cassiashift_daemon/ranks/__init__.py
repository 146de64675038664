"""The agent beside a rank of a group whose engine switches maps on orders."""
