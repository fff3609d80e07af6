-- Story: a keeper finds a damaged record or a torn tail after a crash. It drops acknowledged
-- records, or votes by a log that lacks them, or doesn't come back at all.
fleet({ keepers = 3, entries = 2, engines = 1 })
local accepted = submit({ items = many(50, "item") })
wait_ended(accepted.json.id, 20000)
local _, before = results(accepted.json.id)

-- A torn tail is cut.
kill("keeper-1")
local path = data_dir("keeper-1") .. "/log-00000001"
local file = io.open(path, "ab")
file:write("\x01\x1a\x55\xca half a record")
file:close()
start("keeper-1")
eventually(5000, "it came back", function() return dump("keeper-1") end)
expect(log_of("keeper-1"):match("event=torn_tail_cut"), "it says that it cut a tail")
expect(not log_of("keeper-1"):match("event=disk_damaged"), "and finds no damage")

-- A damaged record in the middle: the disk is set aside, and the member joins as a new one.
path = data_dir("keeper-2") .. "/log-00000001"
local damaged_at = 200
eventually(5000, "it has records behind the place", function()
  local log = io.open(path, "rb")
  local size = log:seek("end")
  log:close()
  return size > 2 * damaged_at
end)
kill("keeper-2")
file = io.open(path, "r+b")
file:seek("set", damaged_at)
file:write("damage")
file:close()
start("keeper-2")
eventually(5000, "it came back", function() return dump("keeper-2") end)
expect(log_of("keeper-2"):match("event=disk_damaged"), "it says that its disk is damaged")
wait_repaired("keeper-2", 20000)
kill("keeper-1")
eventually(10000, "results are readable", function()
  local _, text = results(accepted.json.id)
  return text == before
end)
