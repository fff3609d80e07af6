-- Guards against items that aren't run since gateways and leaders end while they wait for a quarantined part.
local finish_ms, jobs_ms = 18000, 30000
platform_fleet({ gateways = 3, endpoints = 9, restart_ms = 300 })
local troubles = {}
local function restart_one(list, number, at)
  local name = list[number]
  troubles[#troubles + 1] = { at = at, act = function() disturb_kill(name) end }
  troubles[#troubles + 1] = { at = at + 700, act = function() disturb_start(name) end }
end
for round = 0, 5 do
  restart_one(fronts, round % 3 + 1, 8000 + 5000 * round)
  restart_one(works, round % 3 + 1, 10000 + 5000 * round)
end
local began = play_part_items({ items = 150, jobs_ms = jobs_ms, until_ms = jobs_ms + finish_ms, troubles = troubles,
  is_bad = function(_, part) return part == 1 or part == 3 end })
expect_tried(count_part_items("seed " .. seed, began))
