-- Story: a cohort is accepted, then machines die under it, and the committee finds items missing
-- or twice. An engine dies with items in flight, the entry that held them dies, the keeper that
-- acknowledged the job dies, all within seconds.
fleet({ keepers = 3, entries = 3, engines = 3, engine = { token_us = 3000, max_running = 8 } })

local accepted = submit({ name = "cohort", items = many(120, "chapter", 20) })
expect(accepted.status == 202, "the job is accepted, not " .. accepted.status .. accepted.body)
local id = accepted.json.id

local group = nil
for number = 1, 2 do
  for _, name in ipairs(keepers) do
    local state = group_of(name, number)
    if state.leads and state.jobs > 0 then group = { number = number, leader = name } end
  end
end
sleep(100)
kill("engine-1")
kill(group.leader)
sleep(300)
kill("entry-2")
local died = now()
local resent = submit({ to = "entry-1", name = "cohort", items = many(120, "chapter", 20) })
expect(resent.status == 202 and resent.json.id == id, "the resend names the same job")
start("entry-2")
start(group.leader)

local ended = wait_ended(id, 60000, "entry-1")
expect(ended.counts.completed == 120, "all items completed, not " .. encode(ended))
print("ended " .. now() - died .. " ms after the last death")
local list, first = results(id, "entry-3")
expect(#list == 120, "120 results, not " .. #list)
local seen = {}
for _, one in ipairs(list) do
  expect(one.status == "completed", one.custom_id .. " is completed")
  expect(not seen[one.custom_id], one.custom_id .. " stands once")
  seen[one.custom_id] = one.response.body.choices[1].text
  expect(#seen[one.custom_id] > 0, one.custom_id .. " has a text")
end
local _, second = results(id, "entry-1")
expect(first == second, "results read the same again")
