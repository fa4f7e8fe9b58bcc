"""What the nodes of the fleet see together, within a fraction of a second."""
