-- Guards against a request that hangs its endpoint until it ends and is sent on to the next one.
platform_fleet({})
local began = play(20000, { innocent_streams(26),
  { bodies = crashing_bodies(3, "hang 0 3000"), every_ms = 100 } })
local counts = count_budget("hang", began + 12000)
expect_budget(counts)
expect_others_served(counts)
