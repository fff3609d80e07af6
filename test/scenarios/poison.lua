-- Story: one request crashes each engine that runs it, its caller sends it again through other
-- entries, and engine after engine falls; innocent calls beside it are refused with it.
fleet({ keepers = 1, entries = 3, engines = 4, zones = 1, engine = { token_us = 3000 } })

local innocent = {}
for i = 1, 30 do
  innocent[i] = ask_later(complete({ to = "entry-" .. (i % 3 + 1), prompt = "innocent " .. i,
    max_tokens = 200 }))
end
sleep(100)
local last = nil
for i = 1, 6 do
  last = ask(complete({ to = "entry-" .. (i % 3 + 1), prompt = "POISON draft" }))
  sleep(150)
end
local function fallen()
  local count = 0
  for _, name in ipairs(engines) do
    if not is_running(name) then count = count + 1 end
  end
  return count
end
expect(fallen() <= 2, "at most two engines fall, not " .. fallen())
expect(last.status == 422 and last.json.error.code == "quarantined", "quarantined, not " ..
  last.status .. last.body)
expect(last.json.error.run == "no", "and not run again")
for i = 1, 30 do
  local got = answer(innocent[i])
  expect(got.status == 200, "innocent call " .. i .. " is served, not " .. got.status .. got.body)
end

-- Inside a batch the job ends with that item failed.
for _, name in ipairs(engines) do
  if not is_running(name) then start(name) end
end
sleep(1500)
local items = many(30, "good", 8)
items[11] = { prompt = "POISON item", id = "bad" }
local accepted = submit({ items = items })
local ended = wait_ended(accepted.json.id, 30000)
expect(ended.counts.completed == 30 - 1 and ended.counts.failed == 1, encode(ended))
expect(fallen() <= 2, "at most two engines fall for the item, not " .. fallen())
