-- Story: a supervisor cancels a cohort and it goes on: items start after the answer, because an
-- entry held them leased, or got them back from an entry that died.
fleet({ keepers = 3, entries = 3, engines = 2, engine = { token_us = 20000, max_running = 8 } })

local accepted = submit({ items = many(200, "cohort", 50) })
local id = accepted.json.id
eventually(5000, "items run", function() return job(id).counts.running > 5 end)
kill("entry-3")
local answer = ask({ to = "entry-1", method = "POST", path = "/v1/batches/" .. id .. "/cancel" })
expect(answer.status == 200, "the cancellation is answered, not " .. answer.status)
local started = {}
for _, name in ipairs(engines) do started[name] = stats(name).started end
local ended = wait_ended(id, 10000)
expect(ended.status == "cancelled", "the status settles, not on " .. ended.status)
expect(ended.counts.completed + ended.counts.cancelled == 200, "every item has ended")
eventually(3000, "running streams stop", function()
  return stats("engine-1").running + stats("engine-2").running == 0
end)
sleep(1000)
for _, name in ipairs(engines) do
  expect(stats(name).started == started[name], "nothing starts at " .. name .. " after the answer")
end
