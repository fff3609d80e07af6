-- Guards against several requests that crash endpoints at once, hide each other and run on.
platform_fleet({})
local bodies = {}
for i, way in ipairs({ "end_after_event 1 40", "end_before_head 0 60", "end_after_end 0 100",
  "end_after_event 6 5", "end_after_end 0 300" }) do
  bodies[i] = way .. " body-" .. i
  bodies[i + 5] = way .. " body-" .. i + 5
end
local began = play(20000, { innocent_streams(26), { bodies = bodies, every_ms = 30 } })
local counts = count_budget("several", began + 10000)
expect_budget(counts)
expect_others_served(counts)
