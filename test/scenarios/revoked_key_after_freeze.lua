-- Guards against entries that resume from a freeze and serve calls with a key revoked meanwhile.
fleet({ keepers = 3, entries = 3, engines = 2, entry = { stale_after_ms = 2000 } })

local frozen = { "entry-2", "entry-3" }

local function call(to, prompt)
  return ask_later(complete({ to = to, prompt = prompt, key = keys["team-b"] }))
end

for round = 1, 2 do
  local base = dump("entry-1").control.config_version
  for _, name in ipairs(frozen) do freeze(name) end
  eventually(8000, "the key is revoked", function()
    return apply({ base = base, change_id = "revoke-" .. round,
      plans = plans(5000, { "team-a" }) }).status == 200
  end)
  sleep(4000)
  local calls = {}
  for i = 1, 6 do
    for _, name in ipairs(frozen) do calls[#calls + 1] = call(name, "before the thaw " .. i) end
  end
  sleep(200)
  for _, name in ipairs(frozen) do thaw(name) end
  for i = 1, 6 do
    for _, name in ipairs(frozen) do calls[#calls + 1] = call(name, "after the thaw " .. i) end
  end
  local statuses = {}
  for _, id in ipairs(calls) do
    local status = answer(id).status
    statuses[status] = (statuses[status] or 0) + 1
  end
  for status, count in pairs(statuses) do print("round " .. round, status, count) end
  expect(not statuses[200], "no call with the revoked key is served, but " ..
    (statuses[200] or 0) .. " were")
  for _, name in ipairs(frozen) do
    eventually(5000, name .. " rejects the revoked key", function()
      return answer(call(name, "revoked")).status == 401
    end)
  end
  eventually(8000, "the key is restored", function()
    return apply({ base = base + 1, change_id = "restore-" .. round }).status == 200
  end)
  for _, name in ipairs(frozen) do
    eventually(5000, name .. " accepts the restored key", function()
      return answer(call(name, "restored")).status == 200
    end)
  end
end
