-- Story: a VM is frozen for a while and goes on where it was: a keeper that led acknowledges, an
-- entry serves by the lists it had, with beacons from before the freeze in its sockets.
fleet({ keepers = 3, entries = 2, engines = 2, entry = { stale_after_ms = 2000 } })

local old = eventually(5000, "a leader", function() return leader(keepers, 0) end)
freeze(old)
freeze("entry-2")
local frozen = now()
local rest = {}
for _, name in ipairs(keepers) do if name ~= old then rest[#rest + 1] = name end end
eventually(8000, "a change is accepted", function()
  return apply({ base = 1, change_id = "during", plans = plans(777) }).status == 200
end)
print("accepted " .. now() - frozen .. " ms after the freeze")
sleep(3000)
thaw(old)
thaw("entry-2")
local thawed = now()
local got = ask(complete({ to = "entry-2", prompt = "hello" }))
expect(got.status == 200 or got.json.error.code == "stale", "served by new lists or refused")
if got.status == 200 then
  expect(dump("entry-2").control.config_version == 2, "and not by the old ones")
end
eventually(5000, "the old leader follows", function()
  local group = group_of(old, 0)
  return group and not group.leads and dump(old).config_version == 2
end)
eventually(5000, "entry-2 serves by the new lists", function()
  return dump("entry-2").control.config_version == 2 and
    ask(complete({ to = "entry-2", prompt = "hello" })).status == 200
end)
print("all is well " .. now() - thawed .. " ms after the thaw")
