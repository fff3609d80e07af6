-- Guards against a request that crashes endpoints some time after its response and is never found out.
platform_fleet({})
local began = play(20000, { innocent_streams(26),
  { bodies = crashing_bodies(1, "end_after_end 0 600"), every_ms = 170 } })
local counts = count_budget("crash after the end", began + 10000)
expect_budget(counts)
expect_others_served(counts)
