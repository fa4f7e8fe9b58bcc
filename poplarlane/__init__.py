"""Load balancer for services whose targets' load shifts within milliseconds."""
