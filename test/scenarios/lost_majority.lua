-- Story: two of three disks are lost at once. The cluster forms anew from what is left and prints
-- changes as accepted that contradict those from before.
fleet({ keepers = 3, entries = 2, engines = 1, entry = { stale_after_ms = 2000 } })
expect(apply({ base = 1, change_id = "second" }).status == 200, "accepted")

for _, name in ipairs({ "keeper-1", "keeper-2" }) do
  kill(name)
  wipe_disk(name)
  start(name)
end
sleep(5000)
for _, name in ipairs(keepers) do
  local state = dump(name)
  for _, group in ipairs(state.groups) do
    expect(not group.may_read, name .. " leads nothing")
  end
end
local answer = apply({ base = 0, change_id = "anew" })
expect(answer.status == 503, "nothing is accepted, not " .. answer.status .. answer.body)
-- The entries can't know whether their lists still hold.
local refused = ask(complete({ prompt = "hello" }))
expect(refused.status == 503 and refused.json.error.code == "stale", "refused as stale")
expect(refused.json.error.run == "no", "and not run")
