-- Story: entries are restarted one after the other under load, and callers who still hold the old
-- list, or wait for their answer, are cut off.
fleet({ keepers = 3, entries = 3, engines = 3,
  entry = { entries_max_age_ms = 800 }, engine = { token_us = 5000, max_running = 64 } })

local calls = {}
local function send(to)
  calls[#calls + 1] = { to = to, id = ask_later(complete({ to = to, prompt = "call " .. #calls,
    max_tokens = 100, stream = true })) }
end
for _, name in ipairs(entries) do
  for _ = 1, 10 do for _, to in ipairs(entries) do send(to) end end
  sleep(100)
  stop(name)
  -- Callers with a cached list go on for as long as it lasts.
  local till = now() + 500
  while now() < till do send(name); sleep(25) end
  local listed = ask({ to = entries[1] == name and entries[2] or entries[1], path = "/v1/entries" })
  eventually(1000, name .. " has left the list", function()
    local body = ask({ to = entries[1] == name and entries[2] or entries[1],
      path = "/v1/entries" }).json
    for _, one in ipairs(body.entries) do
      if one.address == address(name) then return false end
    end
    return true
  end)
  expect(wait_exit(name) == 0, name .. " drains")
  start(name)
  eventually(10000, name .. " serves again", function()
    return ask(complete({ to = name, prompt = "hello", max_tokens = 1 })).status == 200
  end)
end
for i, call in ipairs(calls) do
  local got = answer(call.id)
  expect(got.status == 200 and got.body:match("%[DONE%]"),
    "call " .. i .. " to " .. call.to .. " ends in full, not " .. got.status .. got.problem)
end
print(#calls .. " calls, none cut off")
