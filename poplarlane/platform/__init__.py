"""Translation between the users' platform and the product: names, formats and nothing else."""
