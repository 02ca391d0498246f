"""Token allowances of workspaces across all routers."""
