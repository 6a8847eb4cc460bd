"""Gateway that forwards callers' HTTP requests to backend servers by the routing content."""
