-- Guards against answers and items that go on at another software version than began them.
fleet({ keepers = 1, entries = 1, engines = 6, zones = 1, software_versions = 2,
  engine = { token_us = 20000, max_running = 64 } })

local function versions_of(text)
  local seen, count = {}, 0
  for version in text:gmatch("@(s%d)") do
    if not seen[version] then seen[version] = true; count = count + 1 end
  end
  return count
end

local calls = {}
for i = 1, 48 do
  calls[i] = ask_later(complete({ prompt = "call " .. i, max_tokens = 60, stream = i % 2 == 0 }))
end
local taken = submit({ items = many(48, "item", 60) })
expect(taken.status == 202, "the job is taken")
sleep(500)
kill("engine-1")
kill("engine-2")

local mixed, served = 0, 0
for i = 1, 48 do
  local got = answer(calls[i])
  if got.status == 200 then served = served + 1 end
  if versions_of(got.body) > 1 then mixed = mixed + 1 end
end
wait_ended(taken.json.id, 20000)
local mixed_items, done = 0, 0
for _, one in ipairs((results(taken.json.id))) do
  if one.status == "completed" then done = done + 1 end
  if versions_of(encode(one)) > 1 then mixed_items = mixed_items + 1 end
end
print(served .. " calls served, " .. mixed .. " mixed; " .. done .. " items done, " ..
  mixed_items .. " mixed")
expect(served == 48, "all calls are served")
expect(done == 48, "all items are done")
expect(mixed == 0, "no answer has tokens of two versions, not " .. mixed)
expect(mixed_items == 0, "no item has tokens of two versions, not " .. mixed_items)
