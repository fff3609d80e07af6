-- Story: an engine that is about to go still gets calls, and cuts off those that run.
fleet({ keepers = 1, entries = 3, engines = 2, zones = 1,
  engine = { token_us = 10000, max_running = 64 } })

-- Entries choose between engines drawn at random: calls begin in rounds until enough run at this one.
local round_ms, running, next_round = 500, {}, now()
eventually(3000, "calls run at engine-1", function()
  if now() >= next_round then
    next_round = now() + round_ms
    for _ = 1, 24 do
      local number = #running + 1
      running[number] = ask_later(complete({ to = "entry-" .. (number % 3 + 1),
        prompt = "long " .. number, max_tokens = 250, stream = true }))
    end
  end
  return stats("engine-1").running > 3
end)
stop("engine-1")
sleep(2000)
-- Nothing once the engine has ended.
local function started()
  local counts = stats("engine-1")
  return counts and counts.started
end
local started_before = started()
for i = 1, 30 do
  local got = ask(complete({ to = "entry-" .. (i % 3 + 1), prompt = "after " .. i }))
  expect(got.status == 200, "served elsewhere")
end
expect(not is_running("engine-1") or started_before and started() == started_before,
  "no new work after two seconds")
for i = 1, #running do
  local got = answer(running[i])
  expect(got.status == 200 and got.body:match("%[DONE%]"), "call " .. i .. " ends in full")
end
expect(wait_exit("engine-1") == 0, "the engine stops once nothing runs")
