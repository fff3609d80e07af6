-- Guards against an entry that takes gossip queued during a freeze for new and serves by old lists.
fleet({ keepers = 3, entries = 2, engines = 2, entry = { stale_after_ms = 2000 } })

local function call(prompt)
  return ask_later(complete({ to = "entry-2", prompt = prompt, key = keys["team-b"] }))
end

for round = 1, 2 do
  local base = dump("entry-1").control.config_version
  freeze("entry-2")
  sleep(1500)
  for _, name in ipairs(keepers) do cut(name, "entry-2") end
  cut("entry-1", "entry-2")
  sleep(1500)
  eventually(8000, "the key is revoked", function()
    return apply({ base = base, change_id = "revoke-" .. round,
      plans = plans(5000, { "team-a" }) }).status == 200
  end)
  sleep(1000)
  thaw("entry-2")
  local thawed = now()
  local served = 0
  while now() - thawed < 2500 do
    if answer(call("cut off")).status == 200 then served = served + 1 end
    sleep(20)
  end
  expect(served == 0, "no call is served by the lists from before the freeze, but " .. served ..
    " were")
  for _, name in ipairs(keepers) do heal(name, "entry-2") end
  heal("entry-1", "entry-2")
  eventually(10000, "entry-2 rejects the revoked key", function()
    return answer(call("revoked")).status == 401
  end)
  eventually(8000, "the key is restored", function()
    return apply({ base = base + 1, change_id = "restore-" .. round }).status == 200
  end)
  eventually(5000, "entry-2 accepts the restored key", function()
    return answer(call("restored")).status == 200
  end)
end
