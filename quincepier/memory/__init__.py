"""State held in memory: buffer pool, memory budget, open request table, machine directory."""
