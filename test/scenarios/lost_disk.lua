-- Story: a keeper's disk is wiped; soon after its return a second VM is lost; the lists and jobs
-- that were acknowledged are gone, because the empty member helped to elect a leader that lacked
-- them.
fleet({ keepers = 3, entries = 2, engines = 1 })

local accepted = submit({ name = "before", items = many(20, "before") })
local id = accepted.json.id
wait_ended(id, 20000)
local _, before = results(id)
expect(apply({ base = 1, change_id = "second" }).status == 200, "accepted")

local function new_disk()
  local state = dump("keeper-3")
  return state and state.disk
end
kill("keeper-3")
wipe_disk("keeper-3")
local returned = now()
start("keeper-3")
eventually(20000, "keeper-3 is a voter in all groups again", function()
  local state = dump("keeper-1")
  if not state then return false end
  local leading = leader({ "keeper-1", "keeper-2" }, 0)
  if not leading then return false end
  for number = 0, 2 do
    local chief = leader(keepers, number)
    local group = chief and group_of(chief, number)
    if not group or #group.members ~= 3 then return false end
    for _, member in ipairs(group.members) do
      if not member.voter or not member.active then return false end
      if member.node == "keeper-3" and member.disk ~= new_disk() then return false end
    end
  end
  return true
end)
print("repaired " .. now() - returned .. " ms after its return")

-- A second VM is lost just after the repair.
kill("keeper-1")
wipe_disk("keeper-1")
local lost = now()
eventually(8000, "a change is accepted", function()
  return apply({ base = 2, change_id = "third" }).status == 200
end)
print("accepts again " .. now() - lost .. " ms after the second loss")
local _, after = results(id)
expect(before == after, "the results are as before")
expect(job(id).status == "completed", "the job is still there")
