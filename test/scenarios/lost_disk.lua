-- Story: a keeper's disk is wiped; soon after its return a second VM is lost; the lists and jobs
-- that were acknowledged are gone, because the empty member helped to elect a leader that lacked
-- them.
fleet({ keepers = 3, entries = 2, engines = 1 })

local accepted = submit({ name = "before", items = many(20, "before") })
local id = accepted.json.id
wait_ended(id, 20000)
local _, before = results(id)
expect(apply({ base = 1, change_id = "second" }).status == 200, "accepted")

kill("keeper-3")
wipe_disk("keeper-3")
local returned = now()
start("keeper-3")
wait_repaired("keeper-3", 20000)
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
