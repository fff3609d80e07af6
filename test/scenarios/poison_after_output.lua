-- Guards against a request that crashes engines after some tokens, and innocent ones blamed for it.
fleet({ keepers = 1, entries = 3, engines = 8, zones = 1,
  engine = { token_us = 3000, first_token_us = 60000, poison_tokens = 5 } })

local innocent = {}
local sent = 0
local function send_innocents(count)
  for _ = 1, count do
    sent = sent + 1
    innocent[sent] = ask_later(complete({ to = "entry-" .. (sent % 3 + 1),
      prompt = "innocent " .. sent, max_tokens = 100 }))
  end
end

local fallen = 0
local function restart_fallen()
  for _, name in ipairs(engines) do
    if not is_running(name) then
      fallen = fallen + 1
      start(name)
    end
  end
end

local last = {}
for i = 1, 12 do
  send_innocents(6)
  local poison = {}
  for j = 1, 3 do
    poison[j] = ask_later(complete({ to = "entry-" .. ((i + j) % 3 + 1), prompt = "POISON " .. j,
      max_tokens = 100 }))
  end
  for _ = 1, 8 do
    sleep(25)
    send_innocents(3)
  end
  for j = 1, 3 do last[j] = answer(poison[j]) end
  restart_fallen()
  sleep(350)
end
expect(fallen <= 15, "at most five engines fall for each, not " .. fallen)
for j = 1, 3 do
  expect(last[j].status == 422 and last[j].json.error.code == "quarantined", "quarantined, not " ..
    last[j].status .. last[j].body)
  expect(last[j].json.error.run == "no", "and not run again")
end
for i = 1, sent do
  local got = answer(innocent[i])
  expect(got.status ~= 422, "innocent call " .. i .. " is not quarantined: " .. got.body)
end
