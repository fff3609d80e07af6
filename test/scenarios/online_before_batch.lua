-- Story: a parent's call waits behind clinic summaries: a thousand items are queued and running on
-- every engine, which knows no priorities, when online calls arrive.
fleet({ keepers = 1, entries = 2, engines = 2, zones = 1,
  entry = { online_reserve = 0 },
  engine = { token_us = 5000, first_token_us = 20000, max_running = 8, slowdown = 0 } })

local accepted = submit({ items = many(1000, "summary", 100) })
eventually(5000, "batch fills the engines", function()
  return stats("engine-1").running + stats("engine-2").running >= 14
end)
local worst = 0
for round = 1, 5 do
  local calls = {}
  for i = 1, 8 do
    calls[i] = { at = now(), id = ask_later(complete({ to = "entry-" .. (i % 2 + 1),
      prompt = "parent " .. round .. "." .. i, max_tokens = 1 })) }
  end
  for i = 1, 8 do
    local got = answer(calls[i].id)
    expect(got.status == 200, "served, not " .. got.status)
    worst = math.max(worst, now() - calls[i].at)
  end
  sleep(500)
end
print("slowest of 40 calls: " .. worst .. " ms; one batch item takes 520 ms")
expect(worst < 250, "no call waits for a batch item, slowest took " .. worst .. " ms")
local state = job(accepted.json.id)
expect(state.counts.completed > 0, "batch went on")
expect(ask({ method = "POST", path = "/v1/batches/" .. accepted.json.id .. "/cancel" }).status == 200,
  "cancelled")
