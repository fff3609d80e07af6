-- Story: connections that are open between an entry and an engine go silent for good, and callers
-- wait for ever although new connections would work.
fleet({ keepers = 1, entries = 1, engines = 2, zones = 1, relayed_engines = "yes",
  entry = { progress_timeout_ms = 1000 }, engine = { token_us = 20000, max_running = 64 } })

local calls = {}
for i = 1, 12 do
  calls[i] = ask_later(complete({ prompt = "silent " .. i, max_tokens = 60, stream = i % 2 == 0 }))
end
sleep(400)
for _, name in ipairs(engines) do silence_one_way("entry-1", name) end
local silenced = now()
for i = 1, 12 do
  local got = answer(calls[i])
  expect(got.status == 200, "call " .. i .. " is served, not " .. got.status .. got.body)
  if i % 2 == 0 then
    local tokens = 0
    for _ in got.body:gmatch('"text"') do tokens = tokens + 1 end
    expect(tokens == 60 and got.body:match("%[DONE%]"), "the whole stream, not " .. tokens)
  end
end
print("all served " .. now() - silenced .. " ms after the silence")
