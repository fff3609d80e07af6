-- Guards against a request that runs, and is refused or runs again: late copies of rejections, moved
-- runs whose copy is lost, and rejections that don't say whether the request ran.
platform_fleet({ endpoints = 6, slots = 8, moves_runs = true, event_ms = 20,
  endpoint_options = { "--room", "3", "--rejection-copy-percent", "50", "--other-copy-percent", "3",
    "--failed-copy-percent", "30" } })
local function body(number)
  local fault = number % 12 == 0 and "stall 3 0 " or number % 20 == 7 and "status 503 0 " or "prompt "
  return fault .. number
end
play(15000, {
  { path = "/once/s/x", once = true, every_ms = 22, bodies = body },
  { path = "/u/x", once = true, every_ms = 40, bodies = body },
  { path = "/s/x", every_ms = 45, bodies = body } })
expect_promises(count_promises("late copies"))
