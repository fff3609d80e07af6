-- Guards against a quarantine that is forgotten since gateways are restarted one after the other.
platform_fleet({ gateways = 2 })
local body = crashing_bodies(1, "end_after_event 1 40")
local troubles = {}
for i = 0, 3 do
  local front = fronts[i % 2 + 1]
  troubles[#troubles + 1] = { at = 4000 + 1500 * i, act = function() disturb_kill(front) end }
  troubles[#troubles + 1] = { at = 4700 + 1500 * i, act = function() disturb_start(front) end }
end
local began = play(14000, { innocent_streams(26), { bodies = body, every_ms = 170 } }, troubles)
local counts = count_budget("gateways restarted", began + 10000)
expect(counts.crashes.ends <= 6, "the quarantine holds, not " .. counts.crashes.ends .. " ends")
expect_others_served(counts)
