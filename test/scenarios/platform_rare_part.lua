-- Guards against requests that crash endpoints again and again since each shares the blame with a part
-- of its prompt that no other request has.
platform_fleet({ endpoints = 12, gateways = 6, restart_ms = 2600 })
local bodies = crashing_bodies(5, "end_after_event 1 30")
local function parts(number)
  local body = (number - 1) % #bodies
  return string.format("5c1e07a2:800,0dd0000%d:410,e4402b00:120,beef%02x:250", body, body)
end
local began = play(24000, { sound_prompts({ every_ms = 18 }),
  { path = "/p/s/x", every_ms = 80, from_ms = 4000, bodies = bodies, parts = parts } })
local counts = count_budget("rare parts", began + 14000)
expect_budget(counts)
expect_others_served(counts)
