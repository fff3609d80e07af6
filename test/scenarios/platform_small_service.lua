-- Guards against requests that crash all endpoints of a small service, and again once they are back.
platform_fleet({ endpoints = 3, gateways = 6, restart_ms = 2400 })
local function lookups(every_ms, more)
  local source = { path = "/f/x", deadline_ms = 1500, every_ms = every_ms }
  for name, value in pairs(more) do source[name] = value end
  return source
end
local sound = lookups(110, { innocent = true, bodies = function(number) return "lookup " .. number end })
-- Of each body two at the same moment.
local bodies = crashing_bodies(3, "end_before_head 0 9")
local began = play(26000, { sound, lookups(100, { bodies = bodies, from_ms = 3000 }),
  lookups(100, { bodies = bodies, from_ms = 3000 }) })
local counts = count_budget("small service", began + 13000)
expect_budget(counts)
expect_others_served(counts)
