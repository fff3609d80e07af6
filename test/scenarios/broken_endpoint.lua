-- Story: a cohort's summaries end as failed though nothing is wrong with them. Their engine, or what
-- stands before it, took requests for some seconds and broke each connection; the items used up
-- their four runs there within some milliseconds.
fleet({ keepers = 1, entries = 1, engines = 1, services = 0, zones = 1,
  engine = { token_us = 5000, max_running = 8 } })

local function fault(what)
  return ask({ to = "engine-1", path = "/faults", json = what, key = false })
end
local accepted = submit({ items = many(40, "summary", 20) })
eventually(5000, "items run", function() return stats("engine-1").running > 0 end)
expect(fault({ breaks = true }).status == 200, "the engine breaks connections")
sleep(2500)
fault({ breaks = false })
local ended = wait_ended(accepted.json.id, 30000)
expect(ended.counts.completed == 40, "all items completed, not " .. encode(ended.counts))
