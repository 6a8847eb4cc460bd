"""The gateway: forwards callers' HTTP requests to backend servers as the routing content says."""
