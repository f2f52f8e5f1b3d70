package mysql

import "testing"

func TestDataSet(t *testing.T) {
	for text, want := range map[string]int{
		"SELECT day FROM sales_17.orders WHERE tag = '3f9c'":                     17,
		"select a.x_3.y from `sales_17`.`orders` a":                              17,
		"SELECT s_4.orders.day, max(note) FROM s_4.orders":                       4,
		"INSERT INTO sales_5.orders SELECT * FROM staging.batch_9":               5,
		"INSERT INTO sales_5.orders SELECT * FROM staging.batch_9, x":            5,
		"SELECT * FROM staging.a_1, sales_6.b":                                   6,
		"SELECT * FROM staging.a JOIN sales_6.b ON a.z_8 = b.c":                  6,
		"SELECT 'FROM fake_1.t', \"it''s \\\" fake_2.t\" FROM real_3.t":          3,
		"SELECT 1 /* FROM fake_1.t */ -- FROM fake_2.t\n # x_9.y\nFROM real_3.t": 3,
		"UPDATE sales_7.orders SET a = 1.5":                                      7,
		"LOAD DATA INFILE 'x_1.y' INTO TABLE sales_8.orders":                     8,
		"DELETE FROM sales_9.orders":                                             9,
		"SELECT x_2.y.z":                                                         2,
		"SELECT 1.5, a.b FROM plain.orders":                                      0,
		"SELECT 'unclosed FROM s_1.t":                                            0,
		"":                                                                       0,
	} {
		t.Run(text, func(t *testing.T) {
			if got := dataSet(text); got != want {
				t.Errorf("data set %d, want %d", got, want)
			}
		})
	}
}
