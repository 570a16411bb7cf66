"""Scale tests: resource use of each kind of process by routers, purges, missed events, requests and bytes."""
