"""Scale tests: resource use of each role by number of routers, purges, missed events, requests and bytes."""
