-- Story: a control VM is cut off silently for a long time. It goes on acknowledging, or an entry
-- goes on serving by an old list, or its return disturbs the rest.
fleet({ keepers = 3, entries = 3, engines = 3, entry = { stale_after_ms = 2000 } })

local function isolate(name, change)
  for _, other in ipairs(keepers) do if other ~= name then change(name, other) end end
  for _, other in ipairs(entries) do if other ~= name then change(name, other) end end
end

local old = eventually(5000, "a leader", function() return leader(keepers, 0) end)
local started = now()
isolate(old, cut)
local others = {}
for _, name in ipairs(keepers) do if name ~= old then others[#others + 1] = name end end
local new = eventually(8000, "another leads", function() return leader(others, 0) end)
print("another leads " .. now() - started .. " ms after the cut")
expect(apply({ base = 1, change_id = "during" }).status == 200, "the rest accepts")
eventually(3000, "the old leader reads nothing any more", function()
  return not group_of(old, 0).may_read
end)
local term = group_of(new, 0).term
isolate(old, heal)
eventually(10000, "the old leader follows", function()
  return dump(old).config_version == 2
end)
expect(group_of(new, 0).term == term or leader(keepers, 0) ~= old, "its return disturbs nobody")

-- An entry that is cut off from everybody refuses once its lists may be old.
isolate("entry-2", cut)
local entry_cut = now()
eventually(6000, "entry-2 refuses", function()
  local got = ask(complete({ to = "entry-2", prompt = "hello" }))
  return got.status == 503 and got.json.error.code == "stale" and got.json.error.run == "no"
end)
print("entry-2 refuses " .. now() - entry_cut .. " ms after the cut")
eventually(4000, "the others list it no more", function()
  return #ask({ to = "entry-1", path = "/v1/entries" }).json.entries == 2
end)
isolate("entry-2", heal)
eventually(10000, "entry-2 serves again", function()
  return ask(complete({ to = "entry-2", prompt = "hello" })).status == 200
end)

-- One way only: the leader hears everybody, and nobody hears it.
local leading = eventually(8000, "a leader", function() return leader(keepers, 0) end)
for _, other in ipairs(keepers) do
  if other ~= leading then cut_one_way(leading, other) end
end
eventually(10000, "a leader that is heard", function()
  for _, name in ipairs(keepers) do
    if name ~= leading and leader({ name }, 0) then return true end
  end
end)
